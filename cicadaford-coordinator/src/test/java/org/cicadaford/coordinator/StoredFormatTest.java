package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.JobDefinition;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.WorkerReport;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/**
 * Guards against a renamed or reordered field of a stored record or peer message.
 *
 * <p>During an upgrade, processes of two builds read each other's messages and journal. The file
 * {@code formats.txt} holds one record a line as an earlier build wrote it: a label and the content
 * in hexadecimal digits.
 */
class StoredFormatTest {

  @Example
  void recordsOfAnEarlierBuildAreReadAndWrittenUnchanged() throws Exception {
    List<String> lines = lines();
    assertThat(lines).hasSize(40);
    for (String line : lines) {
      String[] labelAndContent = line.split(" ");
      byte[] content = HexFormat.of().parseHex(labelAndContent[1]);
      assertThat(HexFormat.of().formatHex(rewritten(labelAndContent[0], content)))
          .as(labelAndContent[0])
          .isEqualTo(labelAndContent[1]);
    }
  }

  private static byte[] rewritten(String label, byte[] content)
      throws MalformedRecordException, ClassNotFoundException {
    return RecordCodec.encode(RecordCodec.decode(content, typeOf(label)));
  }

  private static Class<?> typeOf(String label) throws ClassNotFoundException {
    return switch (label) {
      case "JobSpec" -> JobSpec.class;
      case "JobDefinition" -> JobDefinition.class;
      case "EarlyCancellation" -> Class.forName("org.cicadaford.cell.EarlyCancellation");
      case "JobProgress" -> Class.forName("org.cicadaford.cell.JobProgress");
      case "RunFault" -> Class.forName("org.cicadaford.cell.RunFault");
      case "StartTask" -> Action.StartTask.class;
      case "StopTask" -> Action.StopTask.class;
      case "Renew" -> Action.Renew.class;
      case "StartAnswer" -> WorkerClient.StartAnswer.class;
      case "RenewalAnswer" -> WorkerClient.RenewalAnswer.class;
      case "WorkerReport" -> WorkerReport.class;
      case "PeerMessage" -> PeerMessage.class;
      default -> throw new IllegalArgumentException("formats.txt has an unknown label: " + label);
    };
  }

  private static List<String> lines() throws IOException {
    try (InputStream file = StoredFormatTest.class.getResourceAsStream("formats.txt")) {
      return new String(file.readAllBytes(), StandardCharsets.US_ASCII).lines().toList();
    }
  }
}
