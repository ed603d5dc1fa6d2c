package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.cicadaford.cell.AdvicePolicy;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.Queue;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/** Tests requests of other instances that lack values. */
class CoordinatorRequestHandlerTest {

  /** Guards against a submission that lacks values and is passed to the coordinator. */
  @Example
  void incompleteSubmissionsAreInvalid() {
    ConfigHolder config = new ConfigHolder();
    Queue queue = new Queue("q", "h", "/q/", "s", 0, 1, 1, 0, 0, true, AdvicePolicy.NONE);
    config.update(
        new CellDirectory.PublishedConfig(new CellConfig(1, List.of(queue), List.of()), Set.of()),
        new ClockReading(1, 1));
    CoordinatorRequestHandler handler = new CoordinatorRequestHandler(config);
    byte[] noSteps = RecordCodec.encode(new JobSpec("x", null, 0, 0, 0));
    byte[] noPayload = RecordCodec.encode(new JobSpec(null, List.of(), 0, 0, 0));
    for (PeerMessage message :
        List.of(
            new PeerMessage.SubmitJob("j", "q", "t", noSteps),
            new PeerMessage.SubmitJob("j", "q", "t", noPayload),
            new PeerMessage.SubmitJob("j", "q", "t", null),
            new PeerMessage.SubmitJob(null, "q", "t", noSteps),
            new PeerMessage.SubmitJob("j", "q", null, noSteps))) {
      // An invalid submission is answered before it reaches the coordinator, which is absent here.
      assertThat(handler.handle(null, "z", message).join().outcome())
          .as(message.toString())
          .isEqualTo(CellOutcome.INVALID);
    }
  }
}
