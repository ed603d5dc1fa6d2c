package org.cicadaford.verification;

/** Builds the JSON bodies of job submissions. */
final class JobRequestBodies {

  private JobRequestBodies() {}

  /** Returns a batch job with one core per task, in the queue that needs no key. */
  static String batch(String name, int taskCount, boolean repeatable, String program) {
    return """
        {"name":"%s","team":"%s","kind":"BATCH","queue":"open","urgency":"NORMAL",
         "resourcesPerTask":{"processorsMillicores":1000,"memoryMebibytes":256,
         "acceleratorCount":0},"taskCount":%d,"maxTasksPerRack":0,"deadlineMillis":0,
         "expectedRunMillis":1000,"checkpointable":false,"repeatable":%s,"program":"%s"}"""
        .formatted(name, MultiProcessCell.TEAM, taskCount, repeatable, program);
  }
}
