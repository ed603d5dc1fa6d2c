package org.cicadaford.cell;

/**
 * A record to be written under its key.
 *
 * @param key key of the record
 * @param value new value, or an empty array to delete the key
 */
public record RecordWrite(String key, byte[] value) {}
