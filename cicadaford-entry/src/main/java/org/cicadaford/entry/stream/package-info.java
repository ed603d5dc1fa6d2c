/** Reading and writing of the log's streams. */
package org.cicadaford.entry.stream;
