/** HTTP interface for callers and operators. */
package org.cicadaford.daemon.http;
