package org.cicadaford.platform.internal;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpRequest;
import java.net.URI;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.platform.LogOutcomeUnknownException;
import org.cicadaford.platform.LogPage;
import org.cicadaford.platform.LogService;
import org.cicadaford.platform.LogUnavailableException;
import org.cicadaford.platform.OffsetExpiredException;
import org.cicadaford.platform.PlatformRoutes;
import org.cicadaford.platform.PlatformRoutes.Appended;
import org.cicadaford.platform.PlatformRoutes.Expired;
import org.cicadaford.platform.PlatformSettings;

/** HTTP client of the log. */
public final class HttpLogService implements LogService {

  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;

  private final HttpSender sender;
  private final PlatformSettings settings;

  /** Creates a client of the log at the address in {@code settings}. */
  public HttpLogService(HttpSender sender, PlatformSettings settings) {
    this.sender = sender;
    this.settings = settings;
  }

  @Override
  public long append(String stream, byte[] content)
      throws LogUnavailableException, LogOutcomeUnknownException {
    if (content.length > settings.maxRecordBytes()) {
      throw new LogUnavailableException(
          "a record of "
              + content.length
              + " bytes is larger than the limit of "
              + settings.maxRecordBytes()
              + "; split it",
          null);
    }
    MutableHttpRequest<byte[]> request =
        HttpRequest.POST(address(stream, null), content)
            .contentType(MediaType.APPLICATION_OCTET_STREAM_TYPE);
    try {
      HttpResponse<byte[]> response = sender.sendAndWait(request, settings.requestTimeoutMillis());
      return parseAppendedOffset(stream, response);
    } catch (RequestFailedException e) {
      if (e.mayHaveBeenSent()) {
        throw outcomeUnknown(stream, e);
      }
      throw new LogUnavailableException(
          "the log could not be reached to append to " + stream + "; append again later", e);
    }
  }

  private static long parseAppendedOffset(String stream, HttpResponse<byte[]> response)
      throws LogUnavailableException, LogOutcomeUnknownException {
    if (response.code() == UNAVAILABLE) {
      throw new LogUnavailableException(
          "the log refused an append to " + stream + " with status 503; append again later", null);
    }
    if (response.code() != OK) {
      throw new LogOutcomeUnknownException(
          "the log responded to an append to "
              + stream
              + " with status "
              + response.code()
              + "; read the stream for the record id",
          null);
    }
    try {
      return RecordCodec.decode(HttpSender.bodyOf(response), Appended.class).offset();
    } catch (MalformedRecordException e) {
      throw outcomeUnknown(stream, e);
    }
  }

  private static LogOutcomeUnknownException outcomeUnknown(String stream, Exception cause) {
    return new LogOutcomeUnknownException(
        "the response to an append to " + stream + " was lost; read the stream for the record id",
        cause);
  }

  @Override
  public LogPage read(String stream, long fromOffset, int maxBytes, long waitMillis)
      throws LogUnavailableException, OffsetExpiredException {
    String query = "from=" + fromOffset + "&maxBytes=" + maxBytes + "&waitMillis=" + waitMillis;
    try {
      HttpResponse<byte[]> response =
          sender.sendAndWait(
              HttpRequest.GET(address(stream, query)),
              settings.requestTimeoutMillis() + waitMillis);
      return parsePage(stream, fromOffset, response);
    } catch (RequestFailedException e) {
      throw new LogUnavailableException(
          "the log did not respond to a read of " + stream + "; read again later", e);
    } catch (MalformedRecordException e) {
      throw new LogUnavailableException(
          "the log's response to a read of " + stream + " is malformed; check the log's version",
          e);
    }
  }

  private static LogPage parsePage(String stream, long fromOffset, HttpResponse<byte[]> response)
      throws LogUnavailableException, OffsetExpiredException, MalformedRecordException {
    byte[] body = HttpSender.bodyOf(response);
    if (response.code() == GONE) {
      long earliest = RecordCodec.decode(body, Expired.class).earliestOffset();
      throw new OffsetExpiredException(stream, fromOffset, earliest);
    }
    if (response.code() != OK) {
      throw new LogUnavailableException(
          "the log responded to a read of "
              + stream
              + " with status "
              + response.code()
              + "; read again later",
          null);
    }
    return RecordCodec.decode(body, LogPage.class);
  }

  private URI address(String stream, String query) {
    return HttpSender.address(
        settings.logHost(), settings.logPort(), PlatformRoutes.STREAMS + stream, query);
  }
}
