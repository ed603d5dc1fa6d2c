package org.cicadaford.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.util.List;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;

/** Encodes and decodes {@link PeerFrame}s with a 4-byte length prefix. */
final class PeerFrameCodec extends ByteToMessageCodec<PeerFrame> {

  private static final int LENGTH_FIELD_BYTES = 4;

  /** Number of written frames after which a flush is forced. */
  private static final int MAX_FRAMES_PER_FLUSH = 64;

  /** Adds the framing handlers and the codec to a pipeline. */
  static void addTo(ChannelPipeline pipeline, PeerSettings settings) {
    // Sends the frames written in one event loop iteration with one system call.
    pipeline.addLast(new FlushConsolidationHandler(MAX_FRAMES_PER_FLUSH, true));
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            settings.maxFrameBytes(), 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
    pipeline.addLast(new PeerFrameCodec());
  }

  @Override
  protected void encode(ChannelHandlerContext context, PeerFrame frame, ByteBuf out) {
    out.writeBytes(RecordCodec.encode(frame));
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    byte[] content = new byte[in.readableBytes()];
    in.readBytes(content);
    try {
      out.add(validate(RecordCodec.decode(content, PeerFrame.class)));
    } catch (MalformedRecordException e) {
      throw new CorruptedFrameException("the peer sent a malformed frame", e);
    }
  }

  private static PeerFrame validate(PeerFrame frame) {
    if (frame.version() != PeerFrame.VERSION || frame.message() == null) {
      throw new CorruptedFrameException(
          "the peer uses protocol version "
              + frame.version()
              + ", this daemon uses version "
              + PeerFrame.VERSION
              + "; run compatible releases");
    }
    return frame;
  }
}
