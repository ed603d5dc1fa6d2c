package org.cicadaford.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusedException;
import org.cicadaford.entry.job.JobRequest;
import org.cicadaford.model.JobDescription;

/** Reads the bodies of job submissions. */
final class JobBodies {

  private static final String PUBLISHED = "description";

  private JobBodies() {}

  /**
   * Reads a description, or the name of a published one.
   *
   * @throws RefusedException if the body is neither
   */
  static JobRequest read(byte[] body, String requestId, String key) throws RefusedException {
    JsonNode tree = parse(body);
    if (!(tree instanceof ObjectNode object)) {
      throw malformed("the body must be a JSON object with a description or its published name");
    }
    JsonNode published = object.get(PUBLISHED);
    if (published == null) {
      return new JobRequest(requestId, key, null, describe(object));
    }
    if (!published.isTextual() || object.size() != 1) {
      throw malformed(
          "field description must be the name of a published description and the only field");
    }
    return new JobRequest(requestId, key, published.textValue(), null);
  }

  private static JsonNode parse(byte[] body) throws RefusedException {
    try {
      JsonNode tree = body == null ? null : Answers.JSON.readTree(body);
      if (tree == null || tree.isMissingNode()) {
        throw malformed("the body is empty; send a description as JSON");
      }
      return tree;
    } catch (JsonProcessingException e) {
      throw malformed("the body is not valid JSON: " + e.getOriginalMessage() + at(e));
    } catch (IOException e) {
      throw malformed("the body cannot be read; send a description as JSON");
    }
  }

  private static JobDescription describe(ObjectNode object) throws RefusedException {
    if (!object.has("zones")) {
      object.putArray("zones");
    }
    try {
      return Answers.JSON.treeToValue(object, JobDescription.class);
    } catch (UnrecognizedPropertyException e) {
      throw malformed(
          "field " + e.getPropertyName() + " is not known; remove it or correct its name");
    } catch (InvalidFormatException e) {
      throw malformed("the value \"" + e.getValue() + "\" of a field is not one it can have");
    } catch (JsonProcessingException e) {
      throw malformed("the description cannot be read: " + e.getOriginalMessage());
    }
  }

  private static String at(JsonProcessingException failure) {
    return failure.getLocation() == null
        ? ""
        : " at line "
            + failure.getLocation().getLineNr()
            + ", column "
            + failure.getLocation().getColumnNr();
  }

  private static RefusedException malformed(String detail) {
    return new RefusedException(Refusal.notRun(RefusalKind.MALFORMED_REQUEST, detail));
  }
}
