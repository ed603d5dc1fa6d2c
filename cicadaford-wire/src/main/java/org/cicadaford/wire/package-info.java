/** Peer protocol of the daemons: TCP frames with MessagePack, heartbeats, answers matched by id. */
package org.cicadaford.wire;
