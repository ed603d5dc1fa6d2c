/** Protocol between entry daemons: TCP frames with MessagePack, heartbeats, answers by id. */
package org.cicadaford.wire;
