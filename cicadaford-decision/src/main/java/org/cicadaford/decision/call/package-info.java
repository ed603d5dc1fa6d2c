/** Side-effect-free logic of calls to endpoints: routing, slots, retries and refusals. */
package org.cicadaford.decision.call;
