/** Readers and writers of the streams of the log. */
package org.cicadaford.entry.stream;
