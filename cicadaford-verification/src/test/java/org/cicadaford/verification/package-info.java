/**
 * Fault-injection tests with daemons in their own processes: killed, suspended, partitioned, and
 * without the log.
 */
package org.cicadaford.verification;
