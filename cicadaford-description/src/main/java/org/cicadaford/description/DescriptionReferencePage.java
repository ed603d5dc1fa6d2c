package org.cicadaford.description;

import org.cicadaford.description.internal.FieldTableRenderer;

/** Renders the reference page of description files, {@code docs/description-file.md}. */
public final class DescriptionReferencePage {

  private static final String PAGE =
      """
      # Description files

      This page is generated from the field definitions of `cicadaford-description`; run
      `bin/cicadaford config reference > docs/description-file.md` after a change. A test compares the two.

      A description file defines services, batch jobs, gang jobs, teams and queues. Its name ends in `%s`,
      and it is stored with the code of the service. `cicadaford publish DIR…` collects all files below
      the directories and checks them as one configuration; an error in any file rejects the whole publish.
      Each error is reported with its file, line, column, field and a suggested correction.

      A file is YAML in UTF-8 and contains up to three lists: `jobs`, `teams` and `queues`.
      Indent with spaces. Numbers are decimal, without quotes, signs or leading zeros.

      ## Jobs

      Names are unique among all jobs of all files.

      %s
      ## Teams

      %s
      ## Queues

      %s
      ## Rules across fields

      - The team and the queue of a job are defined in the published files.
      - `deadline` is at least `expected-run`. A service has neither.
      - `urgency: deferrable` needs a deadline.
      - A gang job with `spread` needs no more racks than an availability zone has: at most %d,
        or the value of `--racks-per-zone`.
      - All tasks of a service or gang job together, and each task of a batch job, fit in the quota of the team.

      ## Example

      ```yaml
      teams:
        - name: counters
          share: 4
          quota: 400
      queues:
        - name: counter
      jobs:
        - name: balance-check
          team: counters
          kind: service
          queue: counter
          urgency: urgent
          processors: 0.5
          memory: 512MiB
          tasks: 30
          spread: 4
          program: service
      ```
      """;

  private DescriptionReferencePage() {}

  /** Returns the page as Markdown. */
  public static String render() {
    return PAGE.formatted(
        DescriptionCollector.FILE_SUFFIX,
        FieldTableRenderer.renderJobFields(),
        FieldTableRenderer.renderTeamFields(),
        FieldTableRenderer.renderQueueFields(),
        DescriptionLimits.DEFAULT.maxRacksPerZone());
  }
}
