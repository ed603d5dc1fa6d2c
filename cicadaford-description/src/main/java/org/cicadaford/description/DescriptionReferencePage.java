package org.cicadaford.description;

import org.cicadaford.description.internal.FieldTables;

/** Writes the reference page of description files, {@code docs/description-file.md}. */
public final class DescriptionReferencePage {

  private static final String PAGE =
      """
      # Description files

      This page is generated from the field definitions of `cicadaford-description`; run
      `bin/cicadaford config reference > docs/description-file.md` after a change. A test compares the two.

      A description file states services, batch jobs, gang jobs, teams and queues. Its name ends in `%s`,
      and it is stored beside the code of the service. `cicadaford publish DIR…` collects all files below
      the directories and checks them as one configuration; a fault in any file refuses the whole publish.
      Each fault is reported with file, line, column, field and remedy.

      A file is UTF-8 text in YAML and holds up to three lists: `jobs`, `teams` and `queues`.
      Indent with spaces. Numbers are decimal, without quotes, signs or leading zeros.

      ## Jobs

      Names are unique among all jobs of all files.

      %s
      ## Teams

      %s
      ## Queues

      %s
      ## Rules across fields

      - The team and the queue of a job are described in one of the published files.
      - `deadline` is at least `expected-run`. A service has neither.
      - `urgency: deferrable` needs a deadline.
      - A gang job with `spread` needs no more racks than an availability zone has: at most %d,
        or what `--racks-per-zone` states.
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
        FieldTables.ofJob(),
        FieldTables.ofTeam(),
        FieldTables.ofQueue(),
        DescriptionLimits.DEFAULT.maxRacksPerZone());
  }
}
