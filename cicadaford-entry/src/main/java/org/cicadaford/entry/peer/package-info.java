/** Links between entry daemons: liveness, zone ownership and propagation of the configuration. */
package org.cicadaford.entry.peer;
