/** Protocol between entry daemons: TCP frames with MessagePack. */
package org.cicadaford.wire;
