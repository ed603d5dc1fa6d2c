package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.ZoneRecord.ZoneSnapshotChunk;

/** Holds the whole state of a zone as serialized into snapshot chunks. */
record ZoneSnapshotContent(
    long epoch,
    long previousEpoch,
    String claimRecordId,
    String ownerInstanceId,
    long sequence,
    long lastBatchAtMillis,
    long previousOwnersLastBatchAtMillis,
    long requestsOffset,
    List<WorkerStatus> workers,
    List<JobStatus> jobs,
    List<TaskStatus> tasks) {

  /** Copies the lists; a snapshot without them is malformed. */
  ZoneSnapshotContent {
    workers = List.copyOf(workers);
    jobs = List.copyOf(jobs);
    tasks = List.copyOf(tasks);
  }

  List<ZoneSnapshotChunk> toChunks(
      String snapshotId, long writerEpoch, long asOfOffset, int maxChunkBytes) {
    byte[] bytes = RecordCodec.encode(this);
    int count = Math.max(1, (bytes.length + maxChunkBytes - 1) / maxChunkBytes);
    List<ZoneSnapshotChunk> chunks = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      int from = index * maxChunkBytes;
      int to = Math.min(bytes.length, from + maxChunkBytes);
      chunks.add(
          new ZoneSnapshotChunk(
              snapshotId + "-" + index,
              writerEpoch,
              snapshotId,
              asOfOffset,
              index,
              count,
              Arrays.copyOfRange(bytes, from, to)));
    }
    return chunks;
  }
}
