/** HTTP client and listener on the event loop of an instance. */
package org.cicadaford.coordinator.http;
