/** The stream of requests: appending to it and what was read from it. */
package org.cicadaford.entry.request;
