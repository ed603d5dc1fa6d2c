/** Internal classes that read and check description files. */
package org.cicadaford.description.internal;
