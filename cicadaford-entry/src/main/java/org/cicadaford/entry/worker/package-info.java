/** Commands to workers. */
package org.cicadaford.entry.worker;
