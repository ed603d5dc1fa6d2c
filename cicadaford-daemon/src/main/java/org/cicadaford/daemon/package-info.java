/** The entry daemon: command line, settings and process lifecycle. */
package org.cicadaford.daemon;
