/** Interfaces to what the platform provides, and HTTP clients for them. */
package org.cicadaford.platform;
