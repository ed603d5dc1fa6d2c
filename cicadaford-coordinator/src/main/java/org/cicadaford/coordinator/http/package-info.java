/** Provides an HTTP client and server on the event loop of an instance. */
package org.cicadaford.coordinator.http;
