/** Current configuration, shared by all threads of a daemon. */
package org.cicadaford.entry.config;
