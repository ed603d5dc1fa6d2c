/**
 * Services of an instance that takes part in a cell with one coordinator.
 *
 * <p>All of them run on one event loop, because an instance has less than one core and each switch
 * between threads costs processor time.
 */
package org.cicadaford.coordinator;
