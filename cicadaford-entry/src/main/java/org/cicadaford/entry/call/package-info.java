/** Calls to services: claims, routing, retries and answers. */
package org.cicadaford.entry.call;
