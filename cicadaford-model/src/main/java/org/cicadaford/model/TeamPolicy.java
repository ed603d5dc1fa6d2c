package org.cicadaford.model;

/**
 * States what a team may run.
 *
 * @param name name of the team
 * @param shareWeight weight of the team when the cell is full
 * @param limitMillicores upper limit on the processors of all its running tasks across the fleet
 */
public record TeamPolicy(String name, int shareWeight, long limitMillicores) {}
