/**
 * Interfaces to the platform's services (log, membership list, workers, endpoints) and their HTTP
 * clients.
 */
package org.cicadaford.platform;
