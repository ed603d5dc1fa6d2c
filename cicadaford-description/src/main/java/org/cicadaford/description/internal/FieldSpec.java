package org.cicadaford.description.internal;

/**
 * Defines the name, type and meaning of a field of description files.
 *
 * @param defaultValue value used when the field is absent, or null for required fields
 * @param defaultText default value as shown on the reference page; empty for required fields
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
