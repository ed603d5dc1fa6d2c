package org.cicadaford.cell;

/**
 * A write of a record under its key.
 *
 * @param key key of the record
 * @param value new value, or an empty array to delete the record
 */
public record RecordWrite(String key, byte[] value) {}
