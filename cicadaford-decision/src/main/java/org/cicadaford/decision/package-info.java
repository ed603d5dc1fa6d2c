/** Pure decision logic: records and the present time in, decisions out. */
package org.cicadaford.decision;
