/** HTTP interface for callers. */
package org.cicadaford.daemon.http;
