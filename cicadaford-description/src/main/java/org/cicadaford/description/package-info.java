/** Reads and checks description files. */
package org.cicadaford.description;
