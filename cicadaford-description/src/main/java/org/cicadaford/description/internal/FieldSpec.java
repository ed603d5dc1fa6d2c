package org.cicadaford.description.internal;

/**
 * States the name, type and meaning of a field of description files.
 *
 * @param defaultValue value where the field is absent, or null for required fields
 * @param defaultText the default as the reference page shows it; empty for required fields
 */
record FieldSpec<T>(
    String name, ValueType<T> type, T defaultValue, String defaultText, String meaning) {

  static <T> FieldSpec<T> required(String name, ValueType<T> type, String meaning) {
    return new FieldSpec<>(name, type, null, "", meaning);
  }

  static <T> FieldSpec<T> optional(
      String name, ValueType<T> type, T defaultValue, String defaultText, String meaning) {
    return new FieldSpec<>(name, type, defaultValue, defaultText, meaning);
  }

  boolean isRequired() {
    return defaultText.isEmpty();
  }
}
