/** The entry daemon: settings, HTTP controllers and the program's start. */
package org.cicadaford.daemon;
