/** Contains the records that all modules share, and their MessagePack codec. */
package org.cicadaford.model;
