/** Client of the HTTP interface of entry daemons. */
package org.cicadaford.cli.internal.entry;
