/** State and ownership of an availability zone. */
package org.cicadaford.entry.zone;
