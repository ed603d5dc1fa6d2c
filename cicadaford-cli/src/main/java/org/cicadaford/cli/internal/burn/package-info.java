/** Service-level objectives, error budgets and burn rates. */
package org.cicadaford.cli.internal.burn;
