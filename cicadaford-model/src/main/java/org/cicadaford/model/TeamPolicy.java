package org.cicadaford.model;

/**
 * Defines a team's share and limit.
 *
 * @param name name of the team
 * @param shareWeight weight of the team's fair share when the cell is full
 * @param limitMillicores limit on the processors of the team's running tasks in all zones
 */
public record TeamPolicy(String name, int shareWeight, long limitMillicores) {}
