/** Reads and checks description files, which state the configuration that operators publish. */
package org.cicadaford.description;
