package org.cicadaford.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;

/**
 * Guards against a malformed frame that crashes the process: decoding must fail with {@link
 * MalformedRecordException} only.
 */
class PeerMessageFuzzTest {

  private static final List<PeerMessage> MESSAGES =
      List.of(
          new PeerMessage.Hello("e1", "zone"),
          new PeerMessage.Heartbeat("e1", "zone", 5, true, 7, 9),
          new PeerMessage.SubmitJob("j", "q", "t", new byte[] {1, 2, 3}),
          new PeerMessage.CellAnswer("DONE", "stored", 5),
          new PeerMessage.HelperOffer("e1", "10.0.0.1:7", true),
          new PeerMessage.OrderRequest("start", 9, new byte[] {4, 5}, 1),
          new PeerMessage.OrderAnswer(new byte[] {6}),
          new PeerMessage.AdviceAnswer(Map.of("w", "ticket"), 2_500));

  /** Guards against a length prefix that makes the decoder allocate more memory than available. */
  @Example
  void lengthBeyondContentIsRejected() {
    byte[] content =
        RecordCodec.encode(
            new PeerFrame(PeerFrame.VERSION, 3, false, new PeerMessage.OrderAnswer(new byte[300])));
    for (int index = 0; index + 5 < content.length; index++) {
      // Overwrites the position with a MessagePack header for 2 GB of binary data or text.
      for (int header : List.of(0xc6, 0xdb)) {
        byte[] changed = content.clone();
        byte[] length = {(byte) header, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xf0};
        System.arraycopy(length, 0, changed, index, length.length);
        try {
          RecordCodec.decode(changed, PeerFrame.class);
        } catch (MalformedRecordException e) {
          assertThat(e).isNotNull();
        }
      }
    }
  }

  @Property(tries = 3_000, seed = "71")
  void mutatedFramesAreDecodedOrRejected(@ForAll long seed) {
    Random random = new Random(seed);
    PeerMessage message = MESSAGES.get(random.nextInt(MESSAGES.size()));
    byte[] content = RecordCodec.encode(new PeerFrame(PeerFrame.VERSION, 3, false, message));
    int changes = random.nextInt(4);
    for (int change = 0; change < changes; change++) {
      content[random.nextInt(content.length)] = (byte) random.nextInt(256);
    }
    byte[] cut = Arrays.copyOf(content, random.nextInt(content.length + 1));
    for (byte[] bytes : List.of(content, cut)) {
      try {
        assertThat(RecordCodec.decode(bytes, PeerFrame.class)).isNotNull();
      } catch (MalformedRecordException e) {
        assertThat(e).hasMessageNotContaining("null pointer");
      }
    }
  }
}
