/** Links between entry daemons: who is alive, who owns a zone, and news of the configuration. */
package org.cicadaford.entry.peer;
