package org.cicadaford.verification;

/** JSON bodies of submissions. */
final class JobBodies {

  private JobBodies() {}

  /** Returns a batch run on the queue open to all, of one core a task. */
  static String batch(String name, int taskCount, boolean repeatable, String program) {
    return """
        {"name":"%s","team":"%s","kind":"BATCH","queue":"open","urgency":"NORMAL",
         "resourcesPerTask":{"processorsMillicores":1000,"memoryMebibytes":256,
         "acceleratorCount":0},"taskCount":%d,"maxTasksPerRack":0,"deadlineMillis":0,
         "expectedRunMillis":1000,"checkpointable":false,"repeatable":%s,"program":"%s"}"""
        .formatted(name, ProcessCell.TEAM, taskCount, repeatable, program);
  }
}
