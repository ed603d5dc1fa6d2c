/** The entry library: followers, zone owner, call service and peers. */
package org.cicadaford.entry;
