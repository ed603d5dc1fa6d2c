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

/** Parses the bodies of job submissions. */
final class JobRequestParser {

  private static final String PUBLISHED_NAME_FIELD = "description";

  private JobRequestParser() {}

  /**
   * Parses a job description or the name of a published one.
   *
   * @throws RefusedException if the body is malformed
   */
  static JobRequest parse(byte[] body, String requestId, String key) throws RefusedException {
    JsonNode tree = parseJson(body);
    if (!(tree instanceof ObjectNode object)) {
      throw malformed(
          "the body must be a JSON object with a job description or the name of a published one");
    }
    JsonNode published = object.get(PUBLISHED_NAME_FIELD);
    if (published == null) {
      return new JobRequest(requestId, key, null, toDescription(object));
    }
    if (!published.isTextual() || object.size() != 1) {
      throw malformed(
          "field description must be the name of a published description and the only field");
    }
    return new JobRequest(requestId, key, published.textValue(), null);
  }

  private static JsonNode parseJson(byte[] body) throws RefusedException {
    try {
      JsonNode tree = body == null ? null : JsonResponses.JSON.readTree(body);
      if (tree == null || tree.isMissingNode()) {
        throw malformed("the body is empty; send a job description as JSON");
      }
      return tree;
    } catch (JsonProcessingException e) {
      throw malformed("the body is not valid JSON: " + e.getOriginalMessage() + formatLocation(e));
    } catch (IOException e) {
      throw malformed("the body cannot be read; send a job description as JSON");
    }
  }

  private static JobDescription toDescription(ObjectNode object) throws RefusedException {
    if (!object.has("zones")) {
      object.putArray("zones");
    }
    try {
      return JsonResponses.JSON.treeToValue(object, JobDescription.class);
    } catch (UnrecognizedPropertyException e) {
      throw malformed(
          "field " + e.getPropertyName() + " is unknown; remove it or correct its name");
    } catch (InvalidFormatException e) {
      throw malformed("the value \"" + e.getValue() + "\" is not valid for its field");
    } catch (JsonProcessingException e) {
      throw malformed("the job description is invalid: " + e.getOriginalMessage());
    }
  }

  private static String formatLocation(JsonProcessingException failure) {
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
