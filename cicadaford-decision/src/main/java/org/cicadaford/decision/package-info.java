/** Side-effect-free decision logic: records and the current time in, decisions out. */
package org.cicadaford.decision;
