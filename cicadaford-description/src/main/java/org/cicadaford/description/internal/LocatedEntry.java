package org.cicadaford.description.internal;

/**
 * Holds a valid entry of a file and the reader that knows its position.
 *
 * @param value entry
 * @param reader reader of the fields of the entry, which knows their positions
 */
record LocatedEntry<T>(T value, MappingReader reader) {}
