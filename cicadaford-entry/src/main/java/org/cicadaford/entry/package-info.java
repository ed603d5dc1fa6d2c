/** Services of an entry instance: stream followers, zone owner, job and call services, peers. */
package org.cicadaford.entry;
