/** Requests stream: appending records and the ledger built from it. */
package org.cicadaford.entry.request;
