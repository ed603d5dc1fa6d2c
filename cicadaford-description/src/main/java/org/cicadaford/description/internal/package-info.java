/** Parts of the reader of description files that other modules do not use. */
package org.cicadaford.description.internal;
