/** Shares of the teams in the capacity of a service while it is short; pure computation. */
package org.cicadaford.cell.shares;
