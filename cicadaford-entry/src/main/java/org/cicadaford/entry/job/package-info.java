/** Submission, cancellation and status of jobs. */
package org.cicadaford.entry.job;
