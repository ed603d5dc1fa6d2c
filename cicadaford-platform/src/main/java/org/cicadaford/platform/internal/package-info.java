/** HTTP clients for the interfaces to the platform. */
package org.cicadaford.platform.internal;
