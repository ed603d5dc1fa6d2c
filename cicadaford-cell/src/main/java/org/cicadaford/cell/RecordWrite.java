package org.cicadaford.cell;

/**
 * A write of a record under its key.
 *
 * @param key key of the record
 * @param value new value, or an empty array to delete the record
 */
public record RecordWrite(String key, byte[] value) {

  /**
   * Returns the part of the key that all records of a job share: its id, without the prefix of the
   * kind and what follows the id. Such records are stored together or not at all.
   */
  public String owner() {
    if (key.startsWith(EarlyCancellations.FURTHER_PREFIX)) {
      return EarlyCancellations.jobIdOf(key);
    }
    return key.substring(key.indexOf('/') + 1);
  }
}
