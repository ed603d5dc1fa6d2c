/** Reads and checks description files, which define the configuration that operators publish. */
package org.cicadaford.description;
