/** Membership list of live and leaving instances. */
package org.cicadaford.entry.membership;
